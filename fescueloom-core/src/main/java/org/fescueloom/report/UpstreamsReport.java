package org.fescueloom.report;

import java.util.List;

/**
 * Holds the response to {@code GET /v1/upstreams}.
 *
 * @param upstreams the upstreams that announce themselves; null means none
 */
public record UpstreamsReport(List<UpstreamReport> upstreams) {
    /** Copies the list. */
    public UpstreamsReport {
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
    }
}
