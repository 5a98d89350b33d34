/** What operators set for queues, customers and availability zones, and what upstreams report. */
package org.fescueloom.fleet;
