package org.fescueloom.standins.demo;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class InstallationTest {
    @TempDir private Path checkout;

    private void createJars(String... names) throws IOException {
        Path target = Files.createDirectories(checkout.resolve("fescueloom-daemon/target"));
        for (String name : names) {
            Files.createFile(target.resolve(name));
        }
    }

    private List<String> daemonCommand() {
        return new Installation(checkout, checkout).daemonCommand(Path.of("settings.json"));
    }

    @Nested
    class Jars {
        /**
         * Guards against a start of the wrong program: the JAR file of the tests was taken for that
         * of the daemon, by the order in which the directory listed them.
         */
        @Test
        void areThoseThatTheBuildNames() throws IOException {
            createJars("fescueloom-daemon-0.1-tests.jar", "fescueloom-daemon-tests.jar");
            createJars("fescueloom-daemon.jar", "fescueloom-daemon-0.0.jar");

            assertThat(daemonCommand())
                    .contains(
                            checkout.resolve("fescueloom-daemon/target/fescueloom-daemon.jar")
                                    .toString());
        }

        @Test
        void thatAreMissingAreNamedWithTheCommandThatBuildsThem() throws IOException {
            createJars("fescueloom-daemon-tests.jar");

            assertThatThrownBy(InstallationTest.this::daemonCommand)
                    .isInstanceOf(DemoException.class)
                    .hasMessageContaining("fescueloom-daemon.jar")
                    .hasMessageContaining("mvn -q -DskipTests package");
        }
    }
}
