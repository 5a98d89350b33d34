package org.fescueloom.daemon.dispatch;

class MemoryUpstreamTest extends UpstreamControlContract {
    private final MemoryUpstream upstream = new MemoryUpstream(INSTANCE, RUN_MILLIS);

    @Override
    protected UpstreamControl upstream() {
        return upstream;
    }

    @Override
    protected void pass(long millis) {
        upstream.advance(millis);
    }
}
