package org.burdockbay.app.command;

import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import okhttp3.OkHttpClient;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.bench.runner.RunnerFaults;
import org.burdockbay.bench.runner.RunnerOptions;
import org.burdockbay.bench.runner.StandInRunner;
import org.kohsuke.args4j.Option;

/** Runs a stand-in upstream with optional faults until the process is stopped. */
public final class RunnerCommand implements Command {

  @Option(name = "--name", required = true, metaVar = "NAME", usage = "name of the runner")
  private String name;

  @Option(name = "--domain", required = true, metaVar = "NAME", usage = "its failure domain")
  private String domain;

  @Option(name = "--services", required = true, metaVar = "A,B", usage = "services that it runs")
  private String services;

  @Option(name = "--hosts", required = true, metaVar = "IP:PORT,...", usage = "hosts of its domain")
  private String hosts;

  @Option(name = "--token", required = true, metaVar = "TOKEN", usage = "credential of runners")
  private String token;

  @Option(name = "--ip", metaVar = "IP", usage = "address that it listens on")
  private String ip = "127.0.0.1";

  @Option(name = "--port", metaVar = "PORT", usage = "port; 0 takes a free one")
  private int port;

  @Option(name = "--slots", metaVar = "N", usage = "tasks that it runs at once")
  private int slots = 8;

  @Option(name = "--fail-all", usage = "fail everything at once")
  private boolean failAll;

  @Option(name = "--slow-factor", metaVar = "X", usage = "multiply run times")
  private double slowFactor = 1.0;

  @Option(name = "--silent-starts", metaVar = "SHARE", usage = "run, but never answer, this share")
  private double silentStartShare;

  @Override
  public String summary() {
    return "run a stand-in upstream, with faults on switches";
  }

  @Override
  public ExitCode run() {
    RunnerOptions options =
        new RunnerOptions(
            name,
            domain,
            ip,
            port,
            List.of(services.split(",")),
            List.of(),
            slots,
            List.of(hosts.split(",")),
            token,
            new RunnerFaults(failAll, slowFactor, 0.0, silentStartShare));
    StandInRunner runner = new StandInRunner(options, new OkHttpClient());
    runner.start();
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () ->
                    System.out.printf(
                        Locale.ROOT,
                        "runner=%s started=%d start-calls=%d messages=%d%n",
                        name,
                        runner.startedTasks(),
                        runner.startCalls(),
                        runner.receivedCalls())));
    try {
      new CountDownLatch(1).await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    return ExitCode.OK;
  }
}
