package org.hickorymoor.bench.load;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class ProcessUsageTest {

  @Test
  void parsesStatWithSpacesAndParenthesesInProcessName() {
    String stat = "42 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 120 30 0 0 20 0 31 0 1 2 3";
    List<String> status = List.of("Name:\ta", "VmRSS:\t   63488 kB", "Threads:\t31");

    assertThat(ProcessUsage.parse(stat, status)).isEqualTo(new ProcessUsage(1_500, 63_488, 31));
  }

  @Test
  void usedHeapIsSumOfBothGenerations() {
    String heapInfo =
        """
        def new generation   total 12288K, used 5K [0x1, 0x2, 0x3)
          eden space 10944K,   0% used [0x1, 0x2, 0x3)
        tenured generation   total 27328K, used 9000K [0x1, 0x2, 0x3)
        Metaspace       used 30000K, committed 31000K, reserved 1081344K
        """;

    assertThat(HeapReader.usedKb(heapInfo)).isEqualTo(9_005);
  }
}
