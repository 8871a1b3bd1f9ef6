package org.burdockbay.core.profile;

import static org.testng.Assert.assertEquals;

import org.testng.annotations.Test;

/** Tests {@link SpeedCode}. */
public class SpeedCodeTest {

  /** Guards against speeds that the encoding distorts. */
  @Test
  public void keepsSpeeds() {
    for (double speed = SpeedProfile.MIN_SPEED; speed <= SpeedProfile.MAX_SPEED; speed += 0.01) {
      double decoded = SpeedCode.decode(SpeedCode.encode(speed));
      assertEquals(decoded / speed, 1, 0.011, "speed " + speed);
    }
    assertEquals(SpeedCode.encode(1), 128);
    assertEquals(SpeedCode.decode(128), 1.0);
  }

  /** Guards against codes that don't fit into a byte. */
  @Test
  public void boundsCodes() {
    assertEquals(SpeedCode.encode(1e-9), 0);
    assertEquals(SpeedCode.encode(1e9), 255);
  }
}
