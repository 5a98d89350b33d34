/** Reading and writing of JSON with the settings that all processes share. */
package org.fescueloom.json;
