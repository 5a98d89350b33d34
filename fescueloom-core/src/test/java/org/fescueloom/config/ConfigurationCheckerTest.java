package org.fescueloom.config;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ConfigurationCheckerTest {
    @Test
    void acceptsADocumentWithoutFaults() {
        ConfigurationDocument document =
                new ConfigurationDocument(
                        List.of(new ServiceClass("culvert", 500, 3, 65_536)),
                        List.of(
                                new CustomerPolicy(
                                        "parks",
                                        0.5,
                                        List.of(new GuaranteedShape(2, 8, Adjacency.WORKER))),
                                new CustomerPolicy("fishers", 0.5, null)),
                        List.of(new Zone("harbor-shed", null, null, List.of("r1", "r2"))));
        assertThat(ConfigurationChecker.check(document)).isEmpty();
        assertThat(ConfigurationChecker.check(ConfigurationDocument.EMPTY)).isEmpty();
    }

    @Test
    void findsEveryFaultWithItsPath() {
        ConfigurationDocument document =
                new ConfigurationDocument(
                        List.of(
                                new ServiceClass("a b", 0, -1, -1),
                                new ServiceClass("c", 1, 0, 0),
                                new ServiceClass("c", 1, 0, 0)),
                        List.of(
                                new CustomerPolicy(
                                        "p",
                                        Double.NaN,
                                        List.of(new GuaranteedShape(0, 0, Adjacency.RACK))),
                                new CustomerPolicy("q", 0.7, null),
                                new CustomerPolicy("r", 0.7, null)),
                        List.of(
                                new Zone("z", "", null, List.of("r1")),
                                new Zone("y", null, null, List.of("r1"))));
        assertThat(ConfigurationChecker.check(document))
                .extracting(ConfigurationFault::path)
                .containsExactly(
                        "classes[0].name",
                        "classes[0].targetMillis",
                        "classes[0].priority",
                        "classes[0].maxBodyBytes",
                        "classes[2].name",
                        "customers[0].guaranteedShare",
                        "customers[0].guaranteedShapes[0].blocks",
                        "customers[0].guaranteedShapes[0].accelerators",
                        "customers[*].guaranteedShare",
                        "zones[0].region",
                        "zones[1].racks[0]");
    }
}
