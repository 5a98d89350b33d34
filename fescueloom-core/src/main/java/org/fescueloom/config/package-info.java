/** The configuration document that operators publish, its checks and its history of versions. */
package org.fescueloom.config;
