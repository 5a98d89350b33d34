package org.fescueloom.standins;

import java.io.IOException;
import java.time.Duration;
import okhttp3.Headers;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.json.Json;

/** Calls stand-ins from tests. */
public final class TestHttp {
    private static final OkHttpClient CLIENT =
            new OkHttpClient.Builder()
                    .callTimeout(Duration.ofSeconds(20))
                    .retryOnConnectionFailure(false)
                    .build();

    private TestHttp() {}

    public record TestResponse(int status, Headers headers, byte[] body) {
        public <T> T as(Class<T> type) {
            return Json.read(body, type);
        }
    }

    public static TestResponse call(String method, String address, String path, Object body)
            throws IOException {
        byte[] bodyBytes = body == null ? null : Json.write(body);
        return send(method, address, path, bodyBytes, Headers.of());
    }

    public static TestResponse send(
            String method, String address, String path, byte[] body, Headers headers)
            throws IOException {
        RequestBody requestBody = body == null ? null : RequestBody.create(body);
        Request request =
                new Request.Builder()
                        .url("http://" + address + path)
                        .headers(headers)
                        .method(method, requestBody)
                        .build();
        try (Response response = CLIENT.newCall(request).execute()) {
            return new TestResponse(response.code(), response.headers(), response.body().bytes());
        }
    }
}
