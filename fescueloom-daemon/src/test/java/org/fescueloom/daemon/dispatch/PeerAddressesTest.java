package org.fescueloom.daemon.dispatch;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.AlphaChars;
import net.jqwik.api.constraints.Chars;
import net.jqwik.api.constraints.NumericChars;
import org.fescueloom.daemon.http.HttpClient;
import org.fescueloom.daemon.metrics.Metrics;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class PeerAddressesTest {
    @Test
    void filterKeepsValidAddressesInOrder() {
        Metrics metrics = new Metrics();

        assertThat(
                        PeerAddresses.filterValid(
                                List.of("10.1.0.9:7000", "no address", "b:1", "a:99999"), metrics))
                .containsExactly("10.1.0.9:7000", "b:1");
        assertThat(metrics.registry().counter("addresses.unreadable").getCount()).isEqualTo(2);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                ":",
                "a",
                "a:",
                ":1",
                "a:0",
                "a:65536",
                "a:99999",
                "a:-1",
                "a:1x",
                "a:1/",
                "a:1?b",
                "a b:1",
                "b@a:1",
                "a/b:1",
                "a\n:1",
                "..:1",
                "http://a:1",
                "\u00e9:1"
            })
    void rejectsTextsThatAreNoAddress(String text) {
        assertThat(HttpClient.isAddress(text)).isFalse();
    }

    @Property(tries = 1_000, seed = "24")
    void acceptsOnlyAddressesUsableInRequests(
            @ForAll @AlphaChars @NumericChars @Chars({':', '.', '-', '/', '@', ' '}) String text) {
        if (HttpClient.isAddress(text)) {
            assertThatCode(() -> HttpClient.request("GET", text, "/", null).build())
                    .doesNotThrowAnyException();
        }
    }
}
