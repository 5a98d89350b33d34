package org.fescueloom.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.fescueloom.failure.FailureType;
import org.junit.jupiter.api.Test;

/** Checks that the page OPERATIONS.md lists every failure type. */
class OperationsPageTest {
    @Test
    void listsEachFailureTypeWithItsStatusAndOutcome() throws IOException {
        String page = Files.readString(Path.of("..", "docs", "OPERATIONS.md"));
        for (FailureType type : FailureType.values()) {
            String row =
                    "| `%s` | %d | %s |"
                            .formatted(type.text(), type.status(), type.outcome().text());
            assertThat(page).contains(row);
        }
    }
}
