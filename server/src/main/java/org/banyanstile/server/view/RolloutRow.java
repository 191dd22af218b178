package org.banyanstile.server.view;

import org.banyanstile.core.canary.RolloutStage;
import org.jspecify.annotations.Nullable;

/**
 * Row with the stage of a rollout.
 *
 * @param version version of the row, 0 if it does not exist
 * @param stage the stage that was written last, {@code null} if there is none
 * @author banyanstile contributors
 */
public record RolloutRow(long version, @Nullable RolloutStage stage) {

}
