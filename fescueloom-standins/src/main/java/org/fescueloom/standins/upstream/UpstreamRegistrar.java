package org.fescueloom.standins.upstream;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.fescueloom.json.Json;
import org.fescueloom.standins.StandInResponse;
import org.fescueloom.wire.UpstreamRegistration;
import org.tinylog.Logger;

/** Registers an upstream with its agent. */
final class UpstreamRegistrar implements AutoCloseable {
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(2L);
    private static final MediaType JSON = MediaType.get(StandInResponse.JSON);

    private final String agentAddress;
    private final OkHttpClient client =
            new OkHttpClient.Builder()
                    .callTimeout(CALL_TIMEOUT)
                    .retryOnConnectionFailure(false)
                    .build();

    /**
     * Creates a registrar.
     *
     * @param agentAddress the address of the agent; null to skip every registration
     */
    UpstreamRegistrar(String agentAddress) {
        this.agentAddress = agentAddress;
    }

    /**
     * Sends a registration to the agent; ignores failures to reach the agent.
     *
     * @param registration the registration, not null
     * @return a future that completes when the agent has responded or the call has failed, and at
     *     once without an agent; never completes with an exception
     */
    CompletableFuture<Void> register(UpstreamRegistration registration) {
        CompletableFuture<Void> done = new CompletableFuture<>();
        if (agentAddress == null) {
            done.complete(null);
            return done;
        }
        Request request =
                new Request.Builder()
                        .url("http://" + agentAddress + "/v1/upstream")
                        .put(RequestBody.create(Json.write(registration), JSON))
                        .build();
        client.newCall(request).enqueue(new RegistrationCallback(done));
        return done;
    }

    /**
     * Sends a registration to the agent and waits until the agent has responded or the call has
     * failed.
     *
     * @param registration the registration, not null
     */
    void registerAndWait(UpstreamRegistration registration) {
        try {
            register(registration).join();
        } catch (CompletionException e) {
            Logger.warn(e, "registration with the agent failed");
        }
    }

    @Override
    public void close() {
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }

    private record RegistrationCallback(CompletableFuture<Void> done) implements Callback {
        @Override
        public void onFailure(Call call, IOException e) {
            Logger.debug("cannot reach the agent: {}", e.getMessage());
            done.complete(null);
        }

        @Override
        public void onResponse(Call call, Response response) {
            response.close();
            done.complete(null);
        }
    }
}
