/** Interface to the platform's object store, and an in-memory version. */
package org.quetzalscale.core.object;
