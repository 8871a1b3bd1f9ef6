package org.burdockbay.app.command;

import java.nio.file.Path;
import java.util.List;
import org.burdockbay.app.Command;
import org.burdockbay.app.ExitCode;
import org.burdockbay.bench.load.Arrival;
import org.burdockbay.bench.load.ArrivalPlan;
import org.burdockbay.bench.load.LoadDriver;
import org.burdockbay.bench.load.LoadMix;
import org.burdockbay.bench.load.LoadReport;
import org.burdockbay.core.error.BurdockbayException;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Generates load on a cluster and prints the measured response times. */
public final class LoadCommand implements Command {

  @Argument(required = true, metaVar = "MIX", usage = "file with the kinds of job")
  private Path mixFile;

  @Option(name = "--hosts", required = true, metaVar = "IP:PORT,...", usage = "entry hosts")
  private String hosts;

  @Option(name = "--token", required = true, metaVar = "TOKEN", usage = "credential of a caller")
  private String token;

  @Option(name = "--slots", required = true, metaVar = "N", usage = "slots of all runners")
  private int slots;

  @Option(name = "--load", metaVar = "X", usage = "share of the slots that the load needs")
  private double load = 0.7;

  @Option(name = "--seconds", metaVar = "S", usage = "time during which jobs arrive")
  private int seconds = 20;

  @Option(name = "--seed", metaVar = "N", usage = "seed of the arrivals")
  private long seed = 1;

  @Option(name = "--round-trip-ms", metaVar = "MS", usage = "added to the ideal")
  private double roundTripMillis = 1.0;

  @Override
  public String summary() {
    return "send a seeded open-loop load and compare response times with the ideal queue";
  }

  @Override
  public ExitCode run() throws BurdockbayException {
    LoadMix mix = LoadMix.parse(mixFile.toString(), DocumentFile.read(mixFile));
    List<Arrival> plan = ArrivalPlan.generate(mix, load, slots, seconds * 1000L, seed);
    LoadDriver driver =
        new LoadDriver(List.of(hosts.split(",")), token, "run" + System.currentTimeMillis());
    try {
      driver.drive(plan);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    System.out.println(LoadReport.formatLine(load, plan, slots, driver, roundTripMillis));
    return driver.wrongAnswers() == 0 ? ExitCode.OK : ExitCode.FAILED;
  }
}
