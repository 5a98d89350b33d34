package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.fescueloom.failure.FailureType;
import org.fescueloom.failure.SchedulerException;
import org.fescueloom.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests which records of other processes are rejected. */
class PeerRecordValidationTest {
    private static final String HELLO =
            """
            {"address":"a:1","epoch":3,"dispatcher":"","heardMillis":0,"storeFailingMillis":0,
            "fleetOffset":4,"fleetAgeMillis":5,"logServes":true,"leaving":false,"entries":[]}\
            """;

    private static final String FLEET_SNAPSHOT =
            "{\"offset\":4,\"records\":[{\"key\":\"k\",\"value\":\"AA==\"}]}";

    private static final String CLAIM = "{\"address\":\"a:1\",\"process\":\"p\"}";

    private static final String REPORT =
            """
            {"agent":"a","process":"p","sequence":1,"epoch":1,"looked":true,"lookAgeMillis":0,
            "running":[{"task":"j.0.0.0","run":1,"checkpoint":"","percent":100,"load":0}],
            "ended":[{"number":1,"task":"j.0.0.1","run":1,"end":"done","checkpoint":""}],
            "barred":[{"task":"j.0.0.2","run":1,"boot":"b"}]}\
            """;

    private static <T> T read(String text, Class<T> type) {
        return Json.read(text.getBytes(StandardCharsets.UTF_8), type);
    }

    private static void assertRejected(String valid, String part, String invalid, Class<?> type) {
        String text = valid.replace(part, invalid);
        assertThat(text).isNotEqualTo(valid);
        assertThatThrownBy(() -> read(text, type))
                .isInstanceOfSatisfying(
                        SchedulerException.class,
                        e -> assertThat(e.type()).isEqualTo(FailureType.MALFORMED_INPUT));
    }

    @Test
    void acceptsValidRecords() {
        assertThat(read(HELLO, PeerHello.class).fleetOffset()).isEqualTo(4);
        assertThat(read(FLEET_SNAPSHOT, FleetSnapshot.class).records()).hasSize(1);
        assertThat(read(CLAIM, DispatchClaim.class).address()).isEqualTo("a:1");
        assertThat(read(REPORT, AgentReport.class).barred()).hasSize(1);
    }

    // Guards against incident 24: an entry that had received an offset beyond the end of any log
    // stopped reading the log.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"epoch\":3 | \"epoch\":9223372036854775807",
                "\"epoch\":3 | \"epoch\":-1",
                "\"epoch\":3 | \"epoch\":1e300",
                "\"fleetOffset\":4 | \"fleetOffset\":9223372036854775807",
                "\"fleetOffset\":4 | \"fleetOffset\":99999999999999999999",
                "\"a:1\" | null",
                "[] | [null]",
                "[] | null"
            })
    void rejectsInvalidHelloMessages(String part, String invalid) {
        assertRejected(HELLO, part, invalid, PeerHello.class);
    }

    // Guards against incident 24: a fleet snapshot with an offset beyond the end of any log
    // was never replaced.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "4 | 9223372036854775807",
                "4 | -1",
                "4 | 1e300",
                "\"k\" | null",
                "\"AA==\" | \"!\"",
                "\"AA==\" | null"
            })
    void rejectsInvalidFleetSnapshots(String part, String invalid) {
        assertRejected(FLEET_SNAPSHOT, part, invalid, FleetSnapshot.class);
    }

    // Guards against incident 24: a claim without an address ended the search for the dispatcher.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {"\"a:1\" | null", "\"p\" | null", "\"a:1\" | {}"})
    void rejectsInvalidClaims(String part, String invalid) {
        assertRejected(CLAIM, part, invalid, DispatchClaim.class);
    }

    // Guards against incident 24: a report was applied partially if one of its runs had no task.
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            quoteCharacter = '`',
            value = {
                "\"j.0.0.0\" | null",
                "\"j.0.0.1\" | null",
                "\"j.0.0.2\" | null",
                "\"done\" | null",
                "\"done\" | \"odd\"",
                "\"b\" | null",
                "\"number\":1 | \"number\":1e300",
                "\"run\":1 | \"run\":4294967297",
                "\"sequence\":1 | \"sequence\":99999999999999999999",
                "\"a\" | null"
            })
    void rejectsInvalidAgentReports(String part, String invalid) {
        assertRejected(REPORT, part, invalid, AgentReport.class);
    }

    @Test
    void rejectsDeeplyNestedRecords() {
        String nested = "[".repeat(200_000) + "]".repeat(200_000);

        assertRejected(HELLO, "[]", nested, PeerHello.class);
        assertRejected(HELLO, "\"epoch\"", "\"other\":" + nested + ",\"epoch\"", PeerHello.class);
        assertRejected(
                REPORT, "\"agent\"", "\"notice\":" + nested + ",\"agent\"", AgentReport.class);
    }

    @Property(tries = 300, seed = "24")
    void rejectsArbitraryBytes(@ForAll byte[] bytes) {
        for (Class<?> type :
                new Class<?>[] {
                    PeerHello.class, FleetSnapshot.class, AgentReport.class, DispatchClaim.class
                }) {
            assertThatThrownBy(() -> Json.read(bytes, type)).isInstanceOf(SchedulerException.class);
        }
    }
}
