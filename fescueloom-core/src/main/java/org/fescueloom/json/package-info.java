/** Reading and writing of JSON with settings that all processes share. */
package org.fescueloom.json;
