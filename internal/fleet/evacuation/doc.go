// Package evacuation tracks the availability zones that operators have evacuated. Nothing
// is started in such a zone until it is restored; what runs there may end.
package evacuation
