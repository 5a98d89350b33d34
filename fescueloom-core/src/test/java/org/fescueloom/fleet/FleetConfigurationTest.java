package org.fescueloom.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

class FleetConfigurationTest {
    private static QueuePolicy queue(String name, String prefix) {
        return new QueuePolicy(name, "host", prefix, "s", 0, 1, 1, 0, false, false);
    }

    private final FleetConfiguration configuration =
            new FleetConfiguration(
                    7,
                    List.of(queue("short", "/a/"), queue("long", "/a/b/")),
                    List.of(new CustomerSettings("c", Set.of("k1", "k2"), 16)));

    @Test
    void queueWithTheLongestMatchingPrefixIsFound() {
        assertThat(configuration.queueFor("host", "/a/b/1").orElseThrow().name()).isEqualTo("long");
        assertThat(configuration.queueFor("host", "/a/1").orElseThrow().name()).isEqualTo("short");
        assertThat(configuration.queueFor("host", "/b/")).isEmpty();
        assertThat(configuration.queueFor("other", "/a/")).isEmpty();
    }

    @Test
    void everyApiKeyIdentifiesItsCustomer() {
        assertThat(configuration.customerForKey("k2")).contains("c");
        assertThat(configuration.customerForKey("none")).isEmpty();
        assertThat(configuration.guaranteedAccelerators("c")).isEqualTo(16);
        assertThat(configuration.guaranteedAccelerators("none")).isZero();
    }
}
