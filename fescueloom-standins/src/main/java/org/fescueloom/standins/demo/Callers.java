package org.fescueloom.standins.demo;

import java.io.IOException;
import java.net.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.json.Json;

/**
 * Sends requests as several concurrent callers and checks that each gets back the bytes that it
 * sent.
 */
final class Callers implements AutoCloseable {
    private static final MediaType BINARY_TYPE = MediaType.get("application/octet-stream");
    private static final int CALLER_COUNT = 8;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final long RETRY_DELAY_MILLIS = 200;
    private static final int MAX_ATTEMPTS = 10;

    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .proxy(Proxy.NO_PROXY)
                    .retryOnConnectionFailure(false)
                    .callTimeout(Duration.ofSeconds(30))
                    .build();
    private final ExecutorService executor = Executors.newFixedThreadPool(CALLER_COUNT);
    private final Random random = new Random(7);

    /**
     * Summarizes the outcomes of several requests.
     *
     * @param correct the number of requests whose response held exactly the bytes of the request
     * @param retries the number of attempts that failed with outcome "not-run"
     * @param failures the distinct descriptions of all other failures
     * @param servedBy the number of correct responses by the identifier of the upstream
     */
    record Outcome(
            int correct, int retries, List<String> failures, Map<String, Integer> servedBy) {}

    /**
     * Holds the outcome of one request, including its retries.
     *
     * @param correct whether the response held exactly the bytes of the request
     * @param retries the number of attempts that failed with outcome "not-run"
     * @param failure the description of the failure; ignored if the response is correct
     * @param servedBy the upstream that the response names; null without a response of status 200
     */
    private record CallResult(boolean correct, int retries, String failure, String servedBy) {}

    /** Sends requests to the entries in turn and waits until all requests have ended. */
    Outcome send(List<String> entries, String serviceClass, String customer, int count) {
        List<CompletableFuture<CallResult>> futures = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
            random.nextBytes(body);
            String url =
                    "http://%s/v1/classes/%s/requests"
                            .formatted(entries.get(i % entries.size()), serviceClass);
            futures.add(
                    CompletableFuture.supplyAsync(() -> sendOne(url, customer, body), executor));
        }
        List<CallResult> results = futures.stream().map(CompletableFuture::join).toList();
        Map<String, Integer> servedBy = new TreeMap<>();
        results.stream()
                .filter(CallResult::correct)
                .forEach(result -> servedBy.merge(result.servedBy(), 1, Integer::sum));
        return new Outcome(
                (int) results.stream().filter(CallResult::correct).count(),
                results.stream().mapToInt(CallResult::retries).sum(),
                results.stream()
                        .filter(result -> !result.correct())
                        .map(CallResult::failure)
                        .distinct()
                        .toList(),
                servedBy);
    }

    /** Sends one request; retries after a delay while the response says that nothing ran. */
    private CallResult sendOne(String url, String customer, byte[] body) {
        String lastResponse = "";
        for (int retries = 0; retries < MAX_ATTEMPTS; retries++) {
            Request request =
                    new Request.Builder()
                            .url(url)
                            .header("Customer", customer)
                            .post(RequestBody.create(body, BINARY_TYPE))
                            .build();
            try (Response response = client.newCall(request).execute()) {
                byte[] responseBody = response.body().bytes();
                if (response.code() == OK) {
                    boolean matchesRequest = Arrays.equals(responseBody, body);
                    return new CallResult(
                            matchesRequest,
                            retries,
                            "a response body differs from the request body",
                            response.header("Served-By", "?"));
                }
                lastResponse = response.code() + " " + new String(responseBody);
                if (!lastResponse.contains("not-run")) {
                    return new CallResult(false, retries, lastResponse, null);
                }
            } catch (IOException e) {
                return new CallResult(false, retries, "no response: " + e.getMessage(), null);
            }
            Pause.millis(RETRY_DELAY_MILLIS);
        }
        return new CallResult(false, MAX_ATTEMPTS, lastResponse, null);
    }

    /** Sends a GET request to a process and parses the response as JSON. */
    <T> T get(String address, String path, Class<T> type) {
        Request request = new Request.Builder().url("http://" + address + path).build();
        try (Response response = client.newCall(request).execute()) {
            if (response.code() != OK) {
                throw new DemoException(
                        "GET http://"
                                + address
                                + path
                                + ": status "
                                + response.code()
                                + ", expected 200");
            }
            return Json.read(response.body().bytes(), type);
        } catch (IOException e) {
            throw new DemoException(
                    "GET http://" + address + path + ": no response: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
