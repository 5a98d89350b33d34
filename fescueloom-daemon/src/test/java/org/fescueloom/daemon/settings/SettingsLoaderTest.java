package org.fescueloom.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.fescueloom.json.Json;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class SettingsLoaderTest {
    private static final String AGENT_SETTINGS =
            """
            {"role": "agent", "member": "weaveplan-1-agent", "zone": "harbor-shed",
             "listen": "127.0.0.1:0", "entries": ["127.0.0.1:7100"],
             "logService": ["127.0.0.1:7000"]}\
            """;

    private static Settings parse(String text) {
        return SettingsLoader.parse(text.getBytes(StandardCharsets.UTF_8));
    }

    private static List<SettingsFault> faultsOf(String text) {
        InvalidSettingsException exception =
                catchThrowableOfType(InvalidSettingsException.class, () -> parse(text));
        return exception == null ? List.of() : exception.faults();
    }

    private static List<String> faultPathsOf(String text) {
        return faultsOf(text).stream().map(SettingsFault::path).toList();
    }

    private static String agentSettingsWith(String field, Object value) {
        ObjectNode node =
                (ObjectNode)
                        Json.read(AGENT_SETTINGS.getBytes(StandardCharsets.UTF_8), JsonNode.class);
        return node.set(field, Json.tree(value)).toString();
    }

    @Nested
    class ValidSettings {
        @Test
        void getDefaultsForMissingOptionalSettings() {
            Settings settings = parse(AGENT_SETTINGS);
            assertThat(settings.role()).isEqualTo(Role.AGENT);
            assertThat(settings.logLevel()).isEqualTo(LogLevel.INFO);
            assertThat(settings.limits()).isEqualTo(Limits.DEFAULT);
            assertThat(settings.advertise()).isNull();
            assertThat(settings.listenHost()).isEqualTo("127.0.0.1");
            assertThat(settings.listenPort()).isZero();
        }

        @Test
        void areReadBackFromTheirJson() {
            Settings settings =
                    new Settings(
                            Role.ENTRY,
                            "entry-1",
                            "dosan-a",
                            "0.0.0.0:7100",
                            "10.0.0.7:7100",
                            List.of(),
                            List.of("10.0.0.2:7000", "10.0.0.3:7000"),
                            LogLevel.DEBUG,
                            new Limits(1000));
            assertThat(SettingsLoader.parse(Json.write(settings))).isEqualTo(settings);
        }
    }

    @Nested
    @Group
    class InvalidSettings {
        @Test
        void areReportedWithPathValueAndAllowedValuesForEveryFault() {
            String text =
                    """
                    {"role": "boss", "member": "A B", "listen": "localhost:80",
                     "entries": ["127.0.0.1:0", "10.0.0.1:1", "10.0.0.1:1"], "logService": "x",
                     "logLevel": "loud", "weight": 3, "limits": {"maxBodyBytes": -1, "x": 1}}\
                    """;
            assertThat(faultPathsOf(text))
                    .containsExactlyInAnyOrder(
                            "role",
                            "member",
                            "zone",
                            "listen",
                            "entries[0]",
                            "entries[2]",
                            "logService",
                            "logLevel",
                            "weight",
                            "limits.maxBodyBytes",
                            "limits.x");
            assertThat(faultsOf(text))
                    .contains(new SettingsFault("role", "\"boss\"", "one of entry, agent"));
        }

        @Test
        void areReportedWithoutEntriesForAnAgentOrWithoutLogService() {
            assertThat(faultPathsOf(agentSettingsWith("entries", List.of())))
                    .containsExactly("entries");
            assertThat(faultPathsOf(agentSettingsWith("logService", List.of())))
                    .containsExactly("logService");
            String entrySettings = "{'role':'entry','member':'e','zone':'z','listen':'10.0.0.1:7'}";
            assertThat(faultPathsOf(entrySettings.replace('\'', '"')))
                    .containsExactly("logService");
        }

        @Test
        void areReportedIfNoConnectableAddressIsAdvertised() {
            assertThat(faultPathsOf(agentSettingsWith("listen", "0.0.0.0:7")))
                    .containsExactly("advertise");
            assertThat(faultPathsOf(agentSettingsWith("advertise", "0.0.0.0:7")))
                    .containsExactly("advertise");
        }

        @Test
        void areReportedForTextThatIsNotOneJsonObject() {
            for (String text : new String[] {"", "[]", "null", "{", "{} {}", "{\"a\":1,\"a\":2}"}) {
                assertThat(faultPathsOf(text)).as(text).containsExactly("(file)");
            }
        }

        @Property(tries = 300, seed = "3")
        void areReportedOnlyForTheSettingWithARandomValue(
                @ForAll String member, @ForAll String listen, @ForAll int maxBodyBytes) {
            String settings = agentSettingsWith("member", member);
            assertThat(faultPathsOf(settings)).isSubsetOf("member");
            assertThat(faultPathsOf(agentSettingsWith("listen", listen)))
                    .isSubsetOf("listen", "advertise");
            List<String> paths =
                    faultPathsOf(agentSettingsWith("limits", Map.of("maxBodyBytes", maxBodyBytes)));
            boolean isAllowed = maxBodyBytes >= 1 && maxBodyBytes <= Limits.MAX_BODY_BYTES_LIMIT;
            assertThat(paths.isEmpty()).isEqualTo(isAllowed);
        }
    }
}
