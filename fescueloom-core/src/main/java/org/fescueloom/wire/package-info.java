/** Typed messages between the processes of the system, the upstreams and the workers. */
package org.fescueloom.wire;
