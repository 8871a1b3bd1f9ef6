package org.burdockbay.app.command;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import okhttp3.OkHttpClient;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.bench.runner.RunnerFaults;
import org.burdockbay.bench.runner.RunnerOptions;
import org.burdockbay.bench.runner.StandInRunner;
import org.kohsuke.args4j.Option;

/** Runs many stand-in upstreams in one process, for measurements. */
public final class RunnersCommand implements Command {

  @Option(name = "--count", metaVar = "N", usage = "number of runners")
  private int count = 10;

  @Option(name = "--domain", required = true, metaVar = "NAME", usage = "their failure domain")
  private String domain;

  @Option(name = "--services", required = true, metaVar = "A,B", usage = "services that they run")
  private String services;

  @Option(name = "--hosts", required = true, metaVar = "IP:PORT,...", usage = "hosts of the domain")
  private String hosts;

  @Option(name = "--token", required = true, metaVar = "TOKEN", usage = "credential of runners")
  private String token;

  @Option(name = "--slots", metaVar = "N", usage = "tasks that each runs at once")
  private int slots = 8;

  @Option(name = "--fail-all", metaVar = "N", usage = "how many of them fail everything at once")
  private int failingRunners;

  @Override
  public String summary() {
    return "run many stand-in upstreams in one process, for measurements";
  }

  @Override
  public ExitCode run() {
    OkHttpClient client = new OkHttpClient();
    List<StandInRunner> runners = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      RunnerFaults faults = new RunnerFaults(i < failingRunners, 1.0, 0.0, 0.0);
      runners.add(
          new StandInRunner(
              new RunnerOptions(
                  domain + "-" + i,
                  domain,
                  "127.0.0.1",
                  0,
                  List.of(services.split(",")),
                  List.of(),
                  slots,
                  List.of(hosts.split(",")),
                  token,
                  faults),
              client));
    }
    runners.forEach(StandInRunner::start);
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }
}
