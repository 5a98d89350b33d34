package org.fescueloom.daemon.http;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.fescueloom.failure.FailureBody;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;

/** Creates responses to requests that no handler gets; the connection is closed after them. */
final class Refusal {
    private Refusal() {}

    /**
     * Creates a response that reports a failure.
     *
     * @param type the type of the failure, not null
     * @param detail describes the failure, not null
     * @return the response, never null
     */
    static FullHttpResponse response(FailureType type, String detail) {
        byte[] body = Json.write(FailureBody.of(new SchedulerException(type, detail)));
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        HttpResponseStatus.valueOf(type.status()),
                        Unpooled.wrappedBuffer(body));
        response.headers()
                .set(HttpHeaderNames.CONTENT_TYPE, HttpServerResponse.JSON)
                .setInt(HttpHeaderNames.CONTENT_LENGTH, body.length)
                .set(HttpHeaderNames.CONNECTION, "close");
        return response;
    }
}
