/** Open-loop load on entries or directly on upstreams, with checked answers and latencies. */
package org.fescueloom.standins.load;
