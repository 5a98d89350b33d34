package org.fescueloom.daemon.logging;

import static org.assertj.core.api.Assertions.assertThat;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class EventLogTest {
    @Test
    void writesFieldsInOrder() {
        assertThat(
                        EventLog.event("zone-out")
                                .field("zone", "north-yard")
                                .field("version", 7)
                                .field("peer", null)
                                .toString())
                .isEqualTo("event=zone-out zone=north-yard version=7 peer=none");
    }

    @Test
    void quotesAndEscapesValuesWithSpecialCharacters() {
        assertThat(EventLog.event("failed").error(new IllegalStateException("a \"b\"\nc")))
                .hasToString("event=failed error=IllegalStateException reason=\"a \\\"b\\\"\\nc\"");
    }

    // Guards against incident 24: an invalid record was written to the log at its full length.
    @Test
    void truncatesLongValues() {
        assertThat(EventLog.event("e").field("k", "a".repeat(1_000_000)).toString())
                .isEqualTo("event=e k=" + "a".repeat(500) + "...");
    }

    @Property(tries = 200, seed = "11")
    void writesNoLineBreakForAnyValue(@ForAll String value) {
        assertThat(EventLog.event("e").field("k", value).toString())
                .doesNotContain("\n")
                .doesNotContain("\r");
    }
}
