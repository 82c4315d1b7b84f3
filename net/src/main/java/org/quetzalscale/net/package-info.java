/** Thin network layer over Netty: JSON over HTTP, and length-prefixed MessagePack frames. */
package org.quetzalscale.net;
