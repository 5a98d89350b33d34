package org.fescueloom.endtoend;

import java.nio.file.Path;
import java.util.List;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.standins.harness.LocalDeployment;

/** Creates the deployments of the end-to-end tests. */
final class TestDeployment {
    static final String SERVICE_CLASS = "weaveplan";
    static final List<String> CUSTOMERS = List.of("foremen", "dispatch");
    static final List<String> ZONES = List.of("harbor-shed", "north-yard");
    private static final int MAX_BODY_BYTES = 2 << 20;

    private TestDeployment() {}

    /**
     * Returns the JVM options of the launch script, so that memory is measured as in production.
     */
    static List<String> daemonJvmOptions() {
        return List.of("@" + Path.of("..", "bin", "fescueloomd.jvm").toAbsolutePath());
    }

    /** Starts an entry in each zone and publishes the configuration. */
    static LocalDeployment startWithEntries(String name, long targetMillis) {
        LocalDeployment deployment =
                new LocalDeployment(Path.of("target", "endtoend", name), daemonJvmOptions());
        try {
            deployment.startEntries(ZONES);
            deployment.publish(createConfiguration(targetMillis));
            return deployment;
        } catch (RuntimeException e) {
            deployment.close();
            throw e;
        }
    }

    /** Starts upstreams in alternating zones and waits until they are announced. */
    static void startUpstreams(LocalDeployment deployment, int count, String... options) {
        for (int i = 0; i < count; i++) {
            deployment.startAgentAndUpstream("u" + i, ZONES.get(i % ZONES.size()), options);
        }
        deployment.awaitUpstreams(count);
    }

    private static ConfigurationDocument createConfiguration(long targetMillis) {
        ServiceClass serviceClass =
                new ServiceClass(SERVICE_CLASS, targetMillis, 1, MAX_BODY_BYTES);
        List<CustomerPolicy> customers =
                CUSTOMERS.stream()
                        .map(customer -> new CustomerPolicy(customer, 0.4, List.of()))
                        .toList();
        List<Zone> zones = ZONES.stream().map(zone -> new Zone(zone, null, null, null)).toList();
        return new ConfigurationDocument(List.of(serviceClass), customers, zones);
    }
}
