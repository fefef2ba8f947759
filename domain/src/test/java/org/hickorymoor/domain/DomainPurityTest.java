package org.hickorymoor.domain;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

final class DomainPurityTest {

  private final JavaClasses domain =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("org.hickorymoor.domain");

  @Test
  void domainDoesNoInputOrOutputAndStartsNoThread() {
    noClasses()
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io..",
            "java.net..",
            "java.nio.channels..",
            "java.nio.file..",
            "java.util.concurrent..",
            "com.google.gson..",
            "org.eclipse..",
            "org.msgpack..",
            "com.google.common.flogger..")
        .check(domain);
  }

  @Test
  void domainReadsNoClock() {
    noClasses().should().callMethod(System.class, "nanoTime").check(domain);
    noClasses().should().callMethod(System.class, "currentTimeMillis").check(domain);
    noClasses().should().dependOnClassesThat().resideInAPackage("java.time..").check(domain);
  }
}
