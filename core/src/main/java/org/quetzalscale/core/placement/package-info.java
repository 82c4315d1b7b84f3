/** Moves of workers between pools. */
package org.quetzalscale.core.placement;
