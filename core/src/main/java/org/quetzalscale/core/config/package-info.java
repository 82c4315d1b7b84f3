/** Configuration: its revisions, whether a copy is valid, and whether a change is in force. */
package org.quetzalscale.core.config;
