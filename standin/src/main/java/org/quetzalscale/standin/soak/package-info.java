/** Plays nodes as processes under seeded troubles, and checks what their workers saw. */
package org.quetzalscale.standin.soak;
