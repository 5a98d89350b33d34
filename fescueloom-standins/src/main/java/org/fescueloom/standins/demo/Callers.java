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

/** Sends requests as several callers at once and checks that each gets its own bytes back. */
final class Callers implements AutoCloseable {
    private static final MediaType BYTES = MediaType.get("application/octet-stream");
    private static final int CALLERS = 8;
    private static final int MAX_BODY_BYTES = 64 * 1024;
    private static final int OK = 200;
    private static final long RETRY_MILLIS = 200;
    private static final int TRIES = 10;

    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .proxy(Proxy.NO_PROXY)
                    .retryOnConnectionFailure(false)
                    .callTimeout(Duration.ofSeconds(30))
                    .build();
    private final ExecutorService executor = Executors.newFixedThreadPool(CALLERS);
    private final Random random = new Random(7);

    /**
     * Tells what became of several requests.
     *
     * @param right how many callers got exactly their own bytes
     * @param refused how often a caller was told "not run" and asked again
     * @param wrong what went wrong, in words
     * @param servedBy how many requests each upstream answered
     */
    record Outcome(int right, int refused, List<String> wrong, Map<String, Integer> servedBy) {}

    private record Sent(boolean right, int refused, String wrong, String servedBy) {}

    /** Sends requests through all entries in turn and waits for all answers. */
    Outcome send(List<String> entries, String serviceClass, String customer, int count) {
        List<CompletableFuture<Sent>> futures = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            byte[] body = new byte[random.nextInt(MAX_BODY_BYTES)];
            random.nextBytes(body);
            String url =
                    "http://%s/v1/classes/%s/requests"
                            .formatted(entries.get(i % entries.size()), serviceClass);
            futures.add(
                    CompletableFuture.supplyAsync(() -> sendOne(url, customer, body), executor));
        }
        List<Sent> all = futures.stream().map(CompletableFuture::join).toList();
        Map<String, Integer> servedBy = new TreeMap<>();
        all.stream()
                .filter(Sent::right)
                .forEach(sent -> servedBy.merge(sent.servedBy(), 1, Integer::sum));
        return new Outcome(
                (int) all.stream().filter(Sent::right).count(),
                all.stream().mapToInt(Sent::refused).sum(),
                all.stream().filter(sent -> !sent.right()).map(Sent::wrong).distinct().toList(),
                servedBy);
    }

    private Sent sendOne(String url, String customer, byte[] body) {
        String answer = "";
        for (int i = 0; i < TRIES; i++) {
            Request request =
                    new Request.Builder()
                            .url(url)
                            .header("Customer", customer)
                            .post(RequestBody.create(body, BYTES))
                            .build();
            try (Response response = client.newCall(request).execute()) {
                byte[] bytes = response.body().bytes();
                if (response.code() == OK) {
                    boolean own = Arrays.equals(bytes, body);
                    return new Sent(
                            own,
                            i,
                            "an answer is not its caller's own",
                            response.header("Served-By", "?"));
                }
                answer = response.code() + " " + new String(bytes);
                if (!answer.contains("not-run")) {
                    return new Sent(false, i, answer, null);
                }
            } catch (IOException e) {
                return new Sent(false, i, "no answer: " + e.getMessage(), null);
            }
            Pause.millis(RETRY_MILLIS);
        }
        return new Sent(false, TRIES, answer, null);
    }

    /** Reads JSON from a process. */
    <T> T get(String address, String path, Class<T> type) {
        Request request = new Request.Builder().url("http://" + address + path).build();
        try (Response response = client.newCall(request).execute()) {
            if (response.code() != OK) {
                throw new DemoException(path + " answered with status " + response.code());
            }
            return Json.read(response.body().bytes(), type);
        } catch (IOException e) {
            throw new DemoException(path + " gave no answer: " + e.getMessage());
        }
    }

    @Override
    public void close() {
        executor.shutdownNow();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
