/** Messages that the processes of the system, the upstreams and the workers exchange. */
package org.fescueloom.wire;
