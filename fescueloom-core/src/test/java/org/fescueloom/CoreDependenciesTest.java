package org.fescueloom;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

class CoreDependenciesTest {
    private static final JavaClasses CORE =
            new ClassFileImporter()
                    .withImportOption(new ImportOption.DoNotIncludeTests())
                    .importPackages("org.fescueloom");

    @Test
    void coreDoesNotDependOnTransportLibraries() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage(
                        "java.net..",
                        "java.nio.channels..",
                        "io.jooby..",
                        "okhttp3..",
                        "io.netty..")
                .check(CORE);
    }

    @Test
    void coreDoesNotReadSystemClocks() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("java.time.Clock")
                .check(CORE);
    }
}
