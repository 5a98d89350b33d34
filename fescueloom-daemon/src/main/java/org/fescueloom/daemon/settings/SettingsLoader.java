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
    // Form of the settings "member" and "zone"
    private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
    private static final String IDENTIFIER_FORM =
            "1 to 64 letters, digits, dots, hyphens, underscores; starts with a letter or digit";

    /** The value that a fault reports for a missing setting or an empty file. */
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
     * @param text the JSON text in UTF-8, not null
     * @return the settings, never null
     * @throws InvalidSettingsException if the text has any fault
     */
    public static Settings parse(byte[] text) {
        JsonNode root = parseObject(text);
        SettingsLoader loader = new SettingsLoader();
        loader.check(root);
        if (!loader.faults.isEmpty()) {
            throw new InvalidSettingsException(loader.faults);
        }
        return Json.convert(root, Settings.class);
    }

    private static JsonNode parseObject(byte[] text) {
        try {
            JsonNode root = MAPPER.readTree(text);
            if (root != null && root.isObject()) {
                return root;
            }
            throw unreadableFile(root == null ? MISSING : root.toString());
        } catch (JsonProcessingException e) {
            throw unreadableFile(e.getOriginalMessage() + describeLine(e));
        } catch (IOException e) {
            throw unreadableFile(e.getMessage());
        }
    }

    private static String describeLine(JsonProcessingException e) {
        return e.getLocation() == null ? "" : " in line " + e.getLocation().getLineNr();
    }

    private static InvalidSettingsException unreadableFile(String found) {
        return new InvalidSettingsException(
                List.of(new SettingsFault("(file)", found, "one JSON object of settings")));
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

    private void addFault(String path, JsonNode value, String allowed) {
        faults.add(
                new SettingsFault(
                        path, value.isMissingNode() ? MISSING : value.toString(), allowed));
    }

    private void checkFieldNames(JsonNode node, String prefix, List<String> allowedNames) {
        node.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!allowedNames.contains(name)) {
                                addFault(
                                        prefix + name,
                                        node.get(name),
                                        "no such setting; the settings here are "
                                                + String.join(", ", allowedNames));
                            }
                        });
    }

    private void checkChoice(JsonNode root, String path, boolean required, List<String> allowed) {
        checkText(root, path, required, allowed::contains, "one of " + String.join(", ", allowed));
    }

    private void checkText(
            JsonNode root,
            String path,
            boolean required,
            Predicate<String> isValid,
            String allowedText) {
        JsonNode value = root.path(path);
        if (value.isMissingNode() && !required) {
            return;
        }
        if (!value.isTextual() || !isValid.test(value.asText())) {
            addFault(path, value, allowedText);
        }
    }

    private void checkAdvertise(JsonNode root) {
        checkText(
                root,
                "advertise",
                false,
                SocketAddresses::isConnectable,
                SocketAddresses.EXPECTED_FORM + "; neither port 0 nor a wildcard");
        // Other processes cannot connect to a wildcard, so the listen address is no
        // substitute.
        String listen = root.path("listen").asText();
        if (root.path("advertise").isMissingNode()
                && SocketAddresses.isListenable(listen)
                && SocketAddresses.isWildcard(listen)) {
            addFault("advertise", root.path("advertise"), "required when listen is a wildcard");
        }
    }

    /**
     * Checks a list of addresses that processes connect to.
     *
     * @param root the settings, not null
     * @param path the name of the setting, not null
     * @param requiredBy the kind of daemon that needs at least one address, as words for the fault;
     *     null if the list is optional
     */
    private void checkAddresses(JsonNode root, String path, String requiredBy) {
        JsonNode addresses = root.path(path);
        if (addresses.isMissingNode() && requiredBy == null) {
            return;
        }
        if (!addresses.isArray()) {
            addFault(path, addresses, "a list of addresses");
            return;
        }
        if (addresses.isEmpty() && requiredBy != null) {
            addFault(path, addresses, "at least one address for " + requiredBy);
        }
        Set<String> seen = new HashSet<>();
        for (int i = 0; i < addresses.size(); i++) {
            JsonNode address = addresses.get(i);
            String addressPath = path + "[" + i + "]";
            if (!address.isTextual() || !SocketAddresses.isConnectable(address.asText())) {
                addFault(addressPath, address, SocketAddresses.EXPECTED_FORM);
            } else if (!seen.add(address.asText())) {
                addFault(addressPath, address, "each address only once");
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
