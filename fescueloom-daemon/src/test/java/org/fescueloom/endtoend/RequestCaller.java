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

/** Sends requests to the entries of a deployment as a caller does. */
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

    /** An HTTP response of an entry with its whole body. */
    record EntryResponse(int status, okhttp3.Headers headers, byte[] body) {
        String bodyText() {
            return new String(body, java.nio.charset.StandardCharsets.UTF_8);
        }
    }

    /**
     * Sends a request to the service class of the deployment; an entry index beyond the end wraps
     * around.
     */
    EntryResponse send(int entryIndex, String requestId, boolean idempotent, byte[] body)
            throws IOException {
        return send(
                requestTo(entryIndex, "/v1/classes/" + TestDeployment.SERVICE_CLASS + "/requests")
                        .header(Headers.REQUEST_ID, requestId)
                        .header(Headers.CUSTOMER, customerOf(requestId))
                        .header(Headers.IDEMPOTENT, Boolean.toString(idempotent))
                        .post(RequestBody.create(body)));
    }

    /**
     * Chooses the customer by the request identifier, so that a repeated request has the same one.
     */
    private static String customerOf(String requestId) {
        int customerCount = TestDeployment.CUSTOMERS.size();
        return TestDeployment.CUSTOMERS.get(Math.floorMod(requestId.hashCode(), customerCount));
    }

    /** Creates a request to a path of an entry; an entry index beyond the end wraps around. */
    Request.Builder requestTo(int entryIndex, String path) {
        return new Request.Builder()
                .url("http://" + entries.get(entryIndex % entries.size()) + path);
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
