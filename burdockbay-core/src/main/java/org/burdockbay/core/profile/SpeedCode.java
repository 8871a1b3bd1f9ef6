package org.burdockbay.core.profile;

/** Encodes the speed of an upstream in one byte, to within 1.1 percent. */
public final class SpeedCode {

  private static final int STEPS_PER_DOUBLING = 32;
  private static final int USUAL_SPEED_CODE = 128;
  private static final int MAX_CODE = 255;

  private SpeedCode() {}

  /** Returns the code of a speed, from 0 to 255; 128 is the usual speed. */
  public static int encode(double speed) {
    long steps = Math.round(STEPS_PER_DOUBLING * Math.log(speed) / Math.log(2));
    return Math.clamp(steps + USUAL_SPEED_CODE, 0, MAX_CODE);
  }

  /** Returns the speed with the given code. */
  public static double decode(int code) {
    return Math.pow(2, (double) (code - USUAL_SPEED_CODE) / STEPS_PER_DOUBLING);
  }
}
