package org.fescueloom.daemon.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import java.util.Arrays;

/**
 * Collects the body of a request in one array on the heap, and reserves its bytes in the budget of
 * the process. All methods run on the event loop of the connection, except {@link
 * #reservedBytes()}.
 */
final class RequestBody {
    private static final byte[] NO_BODY = new byte[0];

    private final SharedBudget.Share budget;
    private final int maxBytes;

    private long declaredBytes;
    private volatile long reservedBytes;

    /** The buffer of the body, which may be longer than the body. */
    private byte[] buffer = NO_BODY;

    /** The number of bytes of the body that have arrived. */
    private int length;

    private boolean discarded;
    private boolean tooLong;

    /**
     * Creates the body of the requests of a connection.
     *
     * @param budget the budget, not null
     * @param maxBytes the maximum length of a body
     */
    RequestBody(SharedBudget.Share budget, int maxBytes) {
        this.budget = budget;
        this.maxBytes = maxBytes;
    }

    /**
     * Begins the body of a request. The length of a chunked body is unknown, so that the maximum is
     * reserved.
     *
     * @param request the head of the request, not null
     * @return false if the budget has too little left; the body is then discarded
     */
    boolean begin(HttpRequest request) {
        release();
        tooLong = false;
        declaredBytes = HttpUtil.getContentLength(request, 0L);
        boolean chunked = HttpUtil.isTransferEncodingChunked(request);
        long bytes = chunked ? maxBytes : Math.min(maxBytes, declaredBytes);
        discarded = bytes > 0 && !budget.tryAcquire(bytes);
        if (!discarded) {
            reservedBytes = bytes;
        }
        return !discarded;
    }

    /**
     * Appends a part, unless the body is discarded or becomes too long.
     *
     * @param part the part, not null
     */
    void append(ByteBuf part) {
        int bytes = part.readableBytes();
        if (discarded || tooLong) {
            return;
        }
        if (length + bytes > maxBytes) {
            tooLong = true;
            clear();
            return;
        }
        int neededLength = length + bytes;
        if (neededLength > buffer.length) {
            // If the length is declared, the buffer gets this length at once. Otherwise the buffer
            // doubles, so that it is seldom copied. No body is longer than maxBytes.
            long newLength = Math.max(declaredBytes, Math.max(neededLength, 2L * buffer.length));
            buffer = Arrays.copyOf(buffer, (int) Math.min(maxBytes, newLength));
        }
        part.readBytes(buffer, length, bytes);
        length = neededLength;
    }

    /** Returns whether the body exceeds the maximum, so that the rest of it is ignored. */
    boolean isTooLong() {
        return tooLong;
    }

    /** Returns the bytes that have arrived. */
    byte[] bytes() {
        return buffer.length == length ? buffer : Arrays.copyOf(buffer, length);
    }

    /** Returns the bytes that are reserved for this body. */
    long reservedBytes() {
        return reservedBytes;
    }

    /** Frees the buffer; the bytes stay reserved for the handler, which may still use them. */
    void clear() {
        buffer = NO_BODY;
        length = 0;
    }

    /** Frees the buffer and the reserved bytes. */
    void release() {
        clear();
        budget.release(reservedBytes);
        reservedBytes = 0;
    }
}
