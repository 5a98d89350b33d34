package org.fescueloom.report;

import java.util.List;

/**
 * Answers {@code GET /v1/upstreams}.
 *
 * @param upstreams the upstreams that announce themselves; null counts as none
 */
public record UpstreamsReport(List<UpstreamReport> upstreams) {
    /** Checks what is required and copies the collections. */
    public UpstreamsReport {
        upstreams = upstreams == null ? List.of() : List.copyOf(upstreams);
    }
}
