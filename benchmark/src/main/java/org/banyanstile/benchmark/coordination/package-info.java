/**
 * Cost of heartbeats and of the coordination loop as the fleet grows.
 * <p>
 * Measured with 3, 9 and 27 VMs in one process on a busy machine of ten cores: 120, 480
 * and 1,576 bytes/s sent by each VM (61 bytes/s for each further VM), 1.00%, 0.83% and
 * 0.92% of a core, 0.2 store writes/s and 1.4 store reads/s at each size. Heartbeats
 * between all pairs therefore reach 4 KB/s at about 65 VMs; a larger fleet needs them to
 * be relayed by one VM per data centre.
 */
@NullMarked
package org.banyanstile.benchmark.coordination;

import org.jspecify.annotations.NullMarked;
