package org.fescueloom.endtoend;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.wire.Headers;

/** Sends requests to entries as a caller does. */
final class RequestCaller implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(60L);

    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .connectionPool(new ConnectionPool(64, 30L, TimeUnit.SECONDS))
                    .callTimeout(CALL_TIMEOUT)
                    .readTimeout(CALL_TIMEOUT)
                    .retryOnConnectionFailure(false)
                    .build();
    private final List<String> entries;

    RequestCaller(List<String> entries) {
        this.entries = List.copyOf(entries);
    }

    record EntryResponse(int status, okhttp3.Headers headers, byte[] body) {
        String bodyText() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    EntryResponse send(int entry, String id, boolean idempotent, byte[] body) throws IOException {
        return send(
                requestTo(entry, "/v1/classes/" + TestDeployment.SERVICE_CLASS + "/requests")
                        .header(Headers.REQUEST_ID, id)
                        .header(Headers.CUSTOMER, customerOf(id))
                        .header(Headers.IDEMPOTENT, Boolean.toString(idempotent))
                        .post(RequestBody.create(body)));
    }

    /** Returns the customer of a request, the same one when it is repeated. */
    private static String customerOf(String id) {
        int count = TestDeployment.CUSTOMERS.size();
        return TestDeployment.CUSTOMERS.get(Math.floorMod(id.hashCode(), count));
    }

    Request.Builder requestTo(int entry, String path) {
        return new Request.Builder().url("http://" + entries.get(entry % entries.size()) + path);
    }

    EntryResponse send(Request.Builder request) throws IOException {
        try (Response response = client.newCall(request.build()).execute()) {
            return new EntryResponse(response.code(), response.headers(), response.body().bytes());
        }
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
