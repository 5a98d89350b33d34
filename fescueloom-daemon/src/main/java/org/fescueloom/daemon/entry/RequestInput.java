package org.fescueloom.daemon.entry;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.UUID;
import java.util.regex.Pattern;
import okhttp3.MediaType;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.daemon.http.HttpCall;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.wire.Headers;

/**
 * Holds the validated data of a request.
 *
 * @param id the identifier of the request, not null
 * @param idFromCaller whether the caller chose the identifier and may therefore repeat the request
 * @param customer the customer, not null
 * @param serviceClass the service class, not null
 * @param idempotent whether the request may run more than once
 * @param deadlineNanos the time by which the response must have arrived, in nanoseconds of the
 *     monotonic clock
 * @param contentType the content type of the body, not null
 * @param digest a digest of the service class, the customer, the idempotent flag and the body, not
 *     null
 * @param body the body, not null
 */
record RequestInput(
        String id,
        boolean idFromCaller,
        String customer,
        ServiceClass serviceClass,
        boolean idempotent,
        long deadlineNanos,
        String contentType,
        String digest,
        byte[] body) {
    /** The format of a request identifier that the caller chose. */
    private static final Pattern ID_FORMAT = Pattern.compile("[A-Za-z0-9._:-]{1,128}");

    private static final String DEFAULT_CONTENT_TYPE = "application/octet-stream";

    /**
     * Reads and validates a request.
     *
     * @param call the HTTP call of the caller, not null
     * @param config the configuration in force, not null
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the request, never null
     * @throws SchedulerException with the failure type of the first invalid value
     */
    static RequestInput read(HttpCall call, ConfigurationDocument config, long nowNanos) {
        ServiceClass serviceClass = readClass(call, config);
        String customer = readCustomer(call, config);
        String id = call.header(Headers.REQUEST_ID).orElse(null);
        if (id != null && !ID_FORMAT.matcher(id).matches()) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    Headers.REQUEST_ID
                            + " must have 1 to 128 characters of A-Z, a-z, 0-9, '.', '_', ':',"
                            + " '-'");
        }
        boolean idempotent = readIdempotent(call);
        long timeLeftMillis = readTimeLeftMillis(call, serviceClass);
        byte[] body = call.body();
        if (body.length > serviceClass.maxBodyBytes()) {
            throw new SchedulerException(
                    FailureType.BODY_TOO_LARGE,
                    "the body has "
                            + body.length
                            + " bytes, service class "
                            + serviceClass.name()
                            + " allows at most "
                            + serviceClass.maxBodyBytes());
        }
        return new RequestInput(
                id == null ? UUID.randomUUID().toString() : id,
                id != null,
                customer,
                serviceClass,
                idempotent,
                nowNanos + timeLeftMillis * 1_000_000L,
                readContentType(call),
                digest(serviceClass.name(), customer, idempotent, body),
                body);
    }

    /**
     * Tests whether the request identifier must be claimed before each attempt, because the caller
     * may repeat the request and the request must not run twice.
     *
     * @return true if the caller chose the identifier and the request is not idempotent
     */
    boolean needsClaim() {
        return idFromCaller && !idempotent;
    }

    private static String readContentType(HttpCall call) {
        String text = call.header("Content-Type").orElse(DEFAULT_CONTENT_TYPE);
        if (MediaType.parse(text) == null) {
            throw new SchedulerException(
                    FailureType.MALFORMED_INPUT, "Content-Type is not a valid media type: " + text);
        }
        return text;
    }

    private static String digest(
            String serviceClass, String customer, boolean idempotent, byte[] body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String fields = serviceClass + "\n" + customer + "\n" + idempotent + "\n";
            digest.update(fields.getBytes(StandardCharsets.UTF_8));
            return Base64.getUrlEncoder().withoutPadding().encodeToString(digest.digest(body));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is part of every Java platform", e);
        }
    }

    private static ServiceClass readClass(HttpCall call, ConfigurationDocument config) {
        String name = call.pathVariable("class");
        return config.serviceClass(name)
                .orElseThrow(
                        () ->
                                new SchedulerException(
                                        FailureType.UNKNOWN_CLASS,
                                        "the configuration has no service class " + name));
    }

    private static String readCustomer(HttpCall call, ConfigurationDocument config) {
        String name =
                call.header(Headers.CUSTOMER)
                        .orElseThrow(
                                () ->
                                        new SchedulerException(
                                                FailureType.MALFORMED_INPUT,
                                                "header " + Headers.CUSTOMER + " is missing"));
        if (config.customer(name).isEmpty()) {
            throw new SchedulerException(
                    FailureType.UNKNOWN_CUSTOMER, "the configuration has no customer " + name);
        }
        return name;
    }

    private static boolean readIdempotent(HttpCall call) {
        String text = call.header(Headers.IDEMPOTENT).orElse("false");
        if (!text.equals("true") && !text.equals("false")) {
            throw new SchedulerException(
                    FailureType.MALFORMED_INPUT,
                    Headers.IDEMPOTENT + " must be true or false, not " + text);
        }
        return text.equals("true");
    }

    /** Returns the time until the deadline, which is at most the target of the service class. */
    private static long readTimeLeftMillis(HttpCall call, ServiceClass serviceClass) {
        long millis = call.headerLong(Headers.DEADLINE_MILLIS, serviceClass.targetMillis());
        if (millis <= 0) {
            throw new SchedulerException(
                    FailureType.INVALID_FIELD,
                    Headers.DEADLINE_MILLIS + " must be positive, not " + millis);
        }
        return Math.min(millis, serviceClass.targetMillis());
    }
}
