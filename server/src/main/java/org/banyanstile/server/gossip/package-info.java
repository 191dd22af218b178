/**
 * Datagrams between VMs: membership, changed rows, loads and token use.
 */
@NullMarked
package org.banyanstile.server.gossip;

import org.jspecify.annotations.NullMarked;
