/** Length-prefixed frames that carry MessagePack arrays. */
package org.quetzalscale.net.frame;
