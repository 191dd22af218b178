/**
 * Admission to decode slots by weighted fair queueing, and the retry budget.
 */
@NullMarked
package org.banyanstile.core.admission;

import org.jspecify.annotations.NullMarked;
