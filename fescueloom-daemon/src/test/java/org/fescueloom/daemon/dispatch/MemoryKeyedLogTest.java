package org.fescueloom.daemon.dispatch;

class MemoryKeyedLogTest extends KeyedLogContract {
    private final MemoryKeyedLog log = new MemoryKeyedLog();

    @Override
    protected KeyedLog log() {
        return log;
    }
}
