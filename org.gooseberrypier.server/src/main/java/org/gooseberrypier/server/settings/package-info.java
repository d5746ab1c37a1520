/** The settings file of an entry VM. */
package org.gooseberrypier.server.settings;
