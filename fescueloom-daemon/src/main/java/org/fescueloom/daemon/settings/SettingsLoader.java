package org.fescueloom.daemon.settings;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.fescueloom.json.Json;
import org.fescueloom.wire.SocketAddresses;

/** Reads a settings file, checks it and reports all of its faults together. */
public final class SettingsLoader {
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();
    private static final List<String> FIELD_NAMES =
            List.of(
                    "role",
                    "member",
                    "zone",
                    "listen",
                    "advertise",
                    "entries",
                    "logService",
                    "logLevel",
                    "limits");
    private static final List<String> LIMIT_FIELD_NAMES = List.of("maxBodyBytes");
    private static final String CONNECTABLE_FORM =
            SocketAddresses.EXPECTED_FORM
                    + "; the port must not be 0, the IP address must not be 0.0.0.0 or [::]";
    // Form of the settings "member" and "zone"
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String IDENTIFIER_FORM =
            "1 to 64 letters, digits, dots, hyphens, underscores; starts with a letter or digit";

    /** The value that a fault reports for a missing setting. */
    private static final String MISSING = "nothing";

    private final List<SettingsFault> faults = new ArrayList<>();

    private SettingsLoader() {}

    /**
     * Reads and checks a settings file.
     *
     * @param file the file, not null
     * @return the settings, never null
     * @throws IOException if the file cannot be read
     * @throws InvalidSettingsException if the content of the file has any fault
     */
    public static Settings load(Path file) throws IOException {
        return parse(Files.readAllBytes(file));
    }

    /**
     * Parses and checks the content of a settings file.
     *
     * @param content the JSON text in UTF-8, not null
     * @return the settings, never null
     * @throws InvalidSettingsException if the content has any fault
     */
    public static Settings parse(byte[] content) {
        JsonNode root = parseObject(content);
        SettingsLoader loader = new SettingsLoader();
        loader.check(root);
        if (!loader.faults.isEmpty()) {
            throw new InvalidSettingsException(loader.faults);
        }
        return Json.convert(root, Settings.class);
    }

    private static JsonNode parseObject(byte[] content) {
        try {
            JsonNode root = MAPPER.readTree(content);
            if (root != null && root.isObject()) {
                return root;
            }
            throw notAnObject(root == null ? MISSING : root.toString());
        } catch (JsonProcessingException e) {
            throw notAnObject(e.getOriginalMessage() + describeLine(e));
        } catch (IOException e) {
            // Declared by readTree, but not expected for a byte array
            throw notAnObject(e.getMessage());
        }
    }

    private static String describeLine(JsonProcessingException e) {
        return e.getLocation() == null ? "" : " in line " + e.getLocation().getLineNr();
    }

    private static InvalidSettingsException notAnObject(String valueOrParserMessage) {
        return new InvalidSettingsException(
                List.of(
                        new SettingsFault(
                                "(file)", valueOrParserMessage, "one JSON object of settings")));
    }

    private void check(JsonNode root) {
        checkFieldNames(root, "", FIELD_NAMES);
        checkChoice(root, "role", true, Arrays.stream(Role.values()).map(Role::text).toList());
        checkText(
                root, "member", true, text -> IDENTIFIER.matcher(text).matches(), IDENTIFIER_FORM);
        checkText(root, "zone", true, text -> IDENTIFIER.matcher(text).matches(), IDENTIFIER_FORM);
        checkText(
                root,
                "listen",
                true,
                SocketAddresses::isListenable,
                SocketAddresses.EXPECTED_FORM + "; port 0 selects a free port");
        checkAdvertise(root);
        boolean isAgent = root.path("role").asText().equals(Role.AGENT.text());
        checkAddresses(root, "entries", isAgent ? "an agent" : null);
        checkAddresses(root, "logService", "every daemon");
        checkChoice(
                root,
                "logLevel",
                false,
                Arrays.stream(LogLevel.values()).map(LogLevel::text).toList());
        checkLimits(root);
    }

    private void addFault(String path, JsonNode value, String allowedDescription) {
        faults.add(
                new SettingsFault(
                        path,
                        value.isMissingNode() ? MISSING : value.toString(),
                        allowedDescription));
    }

    private void checkFieldNames(JsonNode node, String prefix, List<String> allowedNames) {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!allowedNames.contains(name)) {
                                addFault(
                                        prefix + name,
                                        node.get(name),
                                        "one of the settings " + String.join(", ", allowedNames));
                            }
                        });
    }

    private void checkChoice(
            JsonNode root, String fieldName, boolean required, List<String> allowedValues) {
        checkText(
                root,
                fieldName,
                required,
                allowedValues::contains,
                "one of " + String.join(", ", allowedValues));
    }

    private void checkText(
            JsonNode root,
            String fieldName,
            boolean required,
            Predicate<String> isValid,
            String allowedDescription) {
        JsonNode value = root.path(fieldName);
        if (value.isMissingNode() && !required) {
            return;
        }
        if (!value.isTextual() || !isValid.test(value.asText())) {
            addFault(fieldName, value, allowedDescription);
        }
    }

    private void checkAdvertise(JsonNode root) {
        checkText(root, "advertise", false, SocketAddresses::isConnectable, CONNECTABLE_FORM);
        // Other processes cannot connect to a wildcard address, so advertise cannot default to the
        // listen address.
        String listen = root.path("listen").asText();
        if (root.path("advertise").isMissingNode()
                && SocketAddresses.isListenable(listen)
                && SocketAddresses.isWildcard(listen)) {
            addFault(
                    "advertise",
                    root.path("advertise"),
                    "an address that other processes can connect to, because listen is " + listen);
        }
    }

    /**
     * Checks a list of addresses that processes connect to.
     *
     * @param root the settings, not null
     * @param fieldName the name of the setting, not null
     * @param requiredBy the kind of daemon that needs at least one address, as it appears in the
     *     message; null if the list is optional
     */
    private void checkAddresses(JsonNode root, String fieldName, String requiredBy) {
        JsonNode addresses = root.path(fieldName);
        if (addresses.isMissingNode() && requiredBy == null) {
            return;
        }
        if (!addresses.isArray()) {
            addFault(
                    fieldName,
                    addresses,
                    requiredBy == null
                            ? "a list of addresses"
                            : "a list with at least one address for " + requiredBy);
            return;
        }
        if (addresses.isEmpty() && requiredBy != null) {
            addFault(fieldName, addresses, "at least one address for " + requiredBy);
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < addresses.size(); i++) {
            JsonNode address = addresses.get(i);
            String addressPath = fieldName + "[" + i + "]";
            if (!address.isTextual() || !SocketAddresses.isConnectable(address.asText())) {
                addFault(addressPath, address, CONNECTABLE_FORM);
            } else if (!seen.add(address.asText())) {
                addFault(addressPath, address, "an address that is not already in the list");
            }
        }
    }

    private void checkLimits(JsonNode root) {
        JsonNode limits = root.path("limits");
        if (limits.isMissingNode()) {
            return;
        }
        if (!limits.isObject()) {
            addFault("limits", limits, "an object with " + String.join(", ", LIMIT_FIELD_NAMES));
            return;
        }
        checkFieldNames(limits, "limits.", LIMIT_FIELD_NAMES);
        JsonNode maxBodyBytes = limits.path("maxBodyBytes");
        if (!maxBodyBytes.isInt()
                || maxBodyBytes.intValue() < 1
                || maxBodyBytes.intValue() > Limits.MAX_BODY_BYTES_LIMIT) {
            addFault(
                    "limits.maxBodyBytes",
                    maxBodyBytes,
                    "a whole number of bytes from 1 to " + Limits.MAX_BODY_BYTES_LIMIT);
        }
    }
}
