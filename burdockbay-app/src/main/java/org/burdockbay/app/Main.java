package org.burdockbay.app;

import java.io.PrintStream;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.burdockbay.app.command.ApplyCommand;
import org.burdockbay.app.command.CancelCommand;
import org.burdockbay.app.command.CheckCommand;
import org.burdockbay.app.command.DiffCommand;
import org.burdockbay.app.command.DrainCommand;
import org.burdockbay.app.command.EvacuateCommand;
import org.burdockbay.app.command.FollowCommand;
import org.burdockbay.app.command.HistoryCommand;
import org.burdockbay.app.command.InitCommand;
import org.burdockbay.app.command.LoadCommand;
import org.burdockbay.app.command.MembersCommand;
import org.burdockbay.app.command.ReferenceCommand;
import org.burdockbay.app.command.RestoreCommand;
import org.burdockbay.app.command.RunnerCommand;
import org.burdockbay.app.command.RunnersCommand;
import org.burdockbay.app.command.ServeCommand;
import org.burdockbay.app.command.ShowCommand;
import org.burdockbay.app.command.SlopesCommand;
import org.burdockbay.app.command.StatusCommand;
import org.burdockbay.app.command.SubmitCommand;
import org.burdockbay.app.command.WatchCommand;
import org.burdockbay.core.configuration.ConfigurationException;
import org.burdockbay.core.error.BurdockbayException;
import org.burdockbay.server.ServerException;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.ParserProperties;

/**
 * Entry point: selects the command, reports its failure on standard error and sets the exit code.
 */
public final class Main {

  private static final Map<String, Supplier<Command>> COMMANDS = commands();
  private static final int USAGE_WIDTH = 100;

  private Main() {}

  /** Runs the command named by the first argument. */
  public static void main(String[] arguments) {
    System.exit(run(arguments, System.out, System.err).code());
  }

  static ExitCode run(String[] arguments, PrintStream out, PrintStream err) {
    if (arguments.length == 0 || arguments[0].equals("help") || arguments[0].equals("--help")) {
      printOverview(out);
      return ExitCode.OK;
    }
    Supplier<Command> supplier = COMMANDS.get(arguments[0]);
    if (supplier == null) {
      err.println("burdockbay: unknown command '" + arguments[0] + "'; see 'burdockbay help'");
      return ExitCode.USAGE;
    }
    Command command = supplier.get();
    CmdLineParser parser =
        new CmdLineParser(command, ParserProperties.defaults().withUsageWidth(USAGE_WIDTH));
    String[] options = Arrays.copyOfRange(arguments, 1, arguments.length);
    if (Arrays.asList(options).contains("--help")) {
      out.println("burdockbay " + arguments[0] + ": " + command.summary());
      parser.printUsage(out);
      return ExitCode.OK;
    }
    try {
      parser.parseArgument(options);
    } catch (CmdLineException e) {
      err.println("burdockbay " + arguments[0] + ": " + e.getMessage());
      parser.printUsage(err);
      return ExitCode.USAGE;
    }
    return run(command, err);
  }

  static ExitCode run(Command command, PrintStream err) {
    try {
      return command.run();
    } catch (ConfigurationException e) {
      err.println(e.getMessage());
      return ExitCode.INVALID;
    } catch (ServerException e) {
      err.println("burdockbay: " + e.getMessage());
      return ExitCode.UNAVAILABLE;
    } catch (BurdockbayException e) {
      err.println("burdockbay: " + e.getMessage());
      return switch (e.kind()) {
        case VERSION_CONFLICT -> ExitCode.CONFLICT;
        case INVALID_CONFIGURATION -> ExitCode.INVALID;
        default -> ExitCode.FAILED;
      };
    } catch (RuntimeException e) {
      // If the exception propagated, only this thread would end; the threads of a partly started
      // host would keep the process alive.
      e.printStackTrace(err);
      return ExitCode.FAILED;
    }
  }

  private static void printOverview(PrintStream out) {
    out.println("burdockbay COMMAND [OPTIONS]; 'burdockbay COMMAND --help' tells more");
    COMMANDS.forEach(
        (name, supplier) -> out.printf("  %-12s %s%n", name, supplier.get().summary()));
  }

  private static Map<String, Supplier<Command>> commands() {
    Map<String, Supplier<Command>> commands = new LinkedHashMap<>();
    commands.put("serve", ServeCommand::new);
    commands.put("init", InitCommand::new);
    commands.put("check", CheckCommand::new);
    commands.put("apply", ApplyCommand::new);
    commands.put("show", ShowCommand::new);
    commands.put("diff", DiffCommand::new);
    commands.put("history", HistoryCommand::new);
    commands.put("watch", WatchCommand::new);
    commands.put("status", StatusCommand::new);
    commands.put("members", MembersCommand::new);
    commands.put("drain", DrainCommand::new);
    commands.put("evacuate", EvacuateCommand::new);
    commands.put("restore", RestoreCommand::new);
    commands.put("submit", SubmitCommand::new);
    commands.put("follow", FollowCommand::new);
    commands.put("cancel", CancelCommand::new);
    commands.put("runner", RunnerCommand::new);
    commands.put("runners", RunnersCommand::new);
    commands.put("load", LoadCommand::new);
    commands.put("slopes", SlopesCommand::new);
    commands.put("reference", ReferenceCommand::new);
    return commands;
  }
}
