package org.fescueloom.daemon.settings;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.fescueloom.config.ConfigurationChecker;
import org.fescueloom.config.ConfigurationDocument;
import org.fescueloom.job.JobSpec;
import org.fescueloom.json.Json;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Checks that the files in the folder "examples" are valid. */
class ExamplesTest {
    private static final Path EXAMPLES = Path.of("..", "examples");

    private static List<Path> jsonFiles(String directory) throws IOException {
        List<Path> files = new ArrayList<>();
        try (DirectoryStream<Path> stream =
                Files.newDirectoryStream(EXAMPLES.resolve(directory), "*.json")) {
            stream.forEach(files::add);
        }
        return files;
    }

    @Test
    void settingsAreValid() throws IOException {
        assertThat(jsonFiles("settings")).hasSize(4);
        for (Path file : jsonFiles("settings")) {
            assertThat(SettingsLoader.load(file).member()).isNotEmpty();
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"lakeshore.json", "council.json"})
    void configurationsAreValid(String file) throws IOException {
        byte[] text = Files.readAllBytes(EXAMPLES.resolve(file));
        ConfigurationDocument document = Json.readStrict(text, ConfigurationDocument.class);
        assertThat(ConfigurationChecker.check(document)).isEmpty();
        assertThat(document.zones()).hasSize(3);
        assertThat(document.customers()).hasSize(4);
    }

    @Test
    void jobsReferToAServiceClassAndACustomerOfOneConfiguration() throws IOException {
        for (Path file : jsonFiles("jobs")) {
            JobSpec spec = Json.readStrict(Files.readAllBytes(file), JobSpec.class);
            assertThat(List.of("lakeshore.json", "council.json"))
                    .anySatisfy(
                            configurationFile -> {
                                byte[] text =
                                        Files.readAllBytes(EXAMPLES.resolve(configurationFile));
                                ConfigurationDocument document =
                                        Json.readStrict(text, ConfigurationDocument.class);
                                assertThat(document.customer(spec.customer())).isPresent();
                                assertThat(document.serviceClass(spec.serviceClass())).isPresent();
                            });
        }
    }
}
