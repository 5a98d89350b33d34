package org.fescueloom.endtoend;

import java.nio.file.Path;
import java.util.List;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.config.CustomerPolicy;
import org.fescueloom.config.ServiceClass;
import org.fescueloom.config.Zone;
import org.fescueloom.standins.harness.LocalDeployment;

/** Makes the deployments that the end-to-end tests share. */
final class TestDeployment {
    static final String SERVICE_CLASS = "weaveplan";
    static final List<String> CUSTOMERS = List.of("foremen", "dispatch");
    static final List<String> ZONES = List.of("harbor-shed", "north-yard");
    private static final int MAX_BODY_BYTES = 2 << 20;

    private TestDeployment() {}

    /** Returns the options of the launch scripts, so that memory is measured as it is shipped. */
    static List<String> daemonJvmOptions() {
        return List.of("@" + Path.of("..", "bin", "fescueloomd.jvm").toAbsolutePath());
    }

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

    static void startUpstreams(LocalDeployment deployment, int count, String... options) {
        for (int i = 0; i < count; i++) {
            deployment.startUpstream("u" + i, ZONES.get(i % ZONES.size()), options);
        }
        deployment.awaitUpstreams(count);
    }

    private static ConfigurationDocument createConfiguration(long targetMillis) {
        ServiceClass service = new ServiceClass(SERVICE_CLASS, targetMillis, 1, MAX_BODY_BYTES);
        List<CustomerPolicy> customers =
                CUSTOMERS.stream().map(c -> new CustomerPolicy(c, 0.4, List.of())).toList();
        List<Zone> zones = ZONES.stream().map(z -> new Zone(z, null, null, null)).toList();
        return new ConfigurationDocument(List.of(service), customers, zones);
    }
}
