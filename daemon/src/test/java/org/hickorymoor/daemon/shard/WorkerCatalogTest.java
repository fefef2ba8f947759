package org.hickorymoor.daemon.shard;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.hickorymoor.domain.workload.WorkerDescriptor;
import org.junit.jupiter.api.Test;

final class WorkerCatalogTest {

  private static final int WORKERS = 30;

  private final VirtualTime time = new VirtualTime(1);
  private final FakeStore store = new FakeStore(time);
  private final FakeWorkers workers = new FakeWorkers(time, store);
  private final List<String> latest = new ArrayList<>();

  // Guards against an order of workers that differs from process to process.
  @Test
  void listsWorkersInTheOrderOfTheirRecords() {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < WORKERS; i++) {
      ids.add(String.format("w%02d", i));
    }
    ids.forEach(workers::add);
    WorkerCatalog catalog =
        new WorkerCatalog(time.new HostEventLoop(), store.port("h0"), FakeWorkers::decode);

    catalog.start(
        listed -> {
          latest.clear();
          listed.values().stream().map(WorkerDescriptor::id).forEach(latest::add);
        });
    time.advance(1_000);
    assertThat(latest).containsExactlyElementsIn(ids).inOrder();

    workers.add("v00");
    ids.add("v00");
    time.advance(1_000);
    assertThat(latest).containsExactlyElementsIn(ids).inOrder();
  }
}
