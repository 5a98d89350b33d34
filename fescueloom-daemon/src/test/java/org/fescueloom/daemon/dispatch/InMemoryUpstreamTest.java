package org.fescueloom.daemon.dispatch;

class InMemoryUpstreamTest extends UpstreamControlContract {
    private final InMemoryUpstream upstream = new InMemoryUpstream(INSTANCE, RUN_MILLIS);

    @Override
    protected UpstreamControl upstream() {
        return upstream;
    }

    @Override
    protected void advanceClock(long millis) {
        upstream.advanceClock(millis);
    }
}
