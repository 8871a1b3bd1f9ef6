import java.nio.file.Path;

/** Runs a case; exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
final class Main {

  public static void main(String[] arguments) {
    int result = 2;
    try {
      boolean trouble = !"0".equals(System.getenv("TROUBLE"));
      Path record = Path.of(arguments[1]);
      result =
          switch (arguments[0]) {
            case "wide" -> WideJobCase.run(record, trouble);
            case "cancel" -> CancelCase.run(record, trouble);
            case "takeover" -> TakeoverCase.run(record, trouble);
            case "other-writer" -> OtherWriterCase.run(record, trouble);
            default -> 2;
          };
    } catch (Exception | Error e) {
      e.printStackTrace();
    }
    System.exit(result);
  }
}
